package main

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"trefoillanding/core/tlwire"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:   "get",
		Usage:  "print the configuration in force",
		Flags:  instanceFlags(),
		Action: get,
	}
}

func get(ctx context.Context, c *cli.Command) error {
	a, err := callOperator[tlwire.ConfigAnswer](ctx, c, http.MethodGet, "/v1/operator/configuration", nil)
	if err != nil {
		return err
	}
	fmt.Printf("# generation %d\n", a.Generation)
	return yaml.NewEncoder(os.Stdout).Encode(a.Config)
}
