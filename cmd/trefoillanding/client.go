package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlanswer"
)

// operatorTimeout bounds one call to the operator's API.
const operatorTimeout = 2 * time.Minute

// client calls instances.
var client = &http.Client{Transport: tlanswer.New(http.DefaultTransport.(*http.Transport).Clone())}

func instanceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "instance", Usage: "`ADDRESS` of any instance, as http://IP:PORT or IP:PORT", Value: "127.0.0.1:8101"},
		&cli.StringFlag{Name: "token", Usage: "operator `TOKEN`, where the instances have one", Sources: cli.EnvVars("TREFOILLANDING_TOKEN")},
	}
}

// callOperator calls the operator's API of the instance that the flags name.
func callOperator[A any](ctx context.Context, c *cli.Command, method, path string, body any) (A, error) {
	ctx, stop := context.WithTimeout(ctx, operatorTimeout)
	defer stop()
	return request[A](ctx, method, baseURL(c.String("instance"))+path, c.String("token"), body)
}

// request makes one call with a JSON body and decodes the answer; a status other than 200
// is an error.
func request[A any](ctx context.Context, method, url, token string, body any) (A, error) {
	var answer A
	b, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return answer, usagef("%v", err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	res, err := client.Do(r)
	if err != nil {
		return answer, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return answer, refusalError(res)
	}
	return answer, json.NewDecoder(res.Body).Decode(&answer)
}

// sendPlain calls a plain service, with an idempotency key unless key is empty, and returns
// status, verdict and body.
func sendPlain(ctx context.Context, method, url, key, body string) (int, string, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	res, err := client.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header.Get("Trefoil-Verdict"), strings.TrimSpace(string(b)), err
}

func baseURL(instance string) string {
	if strings.Contains(instance, "://") {
		return instance
	}
	return "http://" + instance
}

func refusalError(res *http.Response) error {
	b, _ := io.ReadAll(res.Body)
	var v tlwire.Refusal
	if err := json.Unmarshal(b, &v); err != nil || v.Reason == "" {
		return fmt.Errorf("the instance answered with status %s", res.Status)
	}
	return fmt.Errorf("%s (%s): %s", v.Reason, v.Verdict, v.Message)
}
