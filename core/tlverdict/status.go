package tlverdict

// The HTTP statuses with which refusals and failures are answered.
const (
	statusBadRequest            = 400
	statusUnauthorized          = 401
	statusForbidden             = 403
	statusNotFound              = 404
	statusMethodNotAllowed      = 405
	statusRequestTimeout        = 408
	statusConflict              = 409
	statusRequestEntityTooLarge = 413
	statusTooManyRequests       = 429
	statusBadGateway            = 502
	statusServiceUnavailable    = 503
	statusGatewayTimeout        = 504
)
