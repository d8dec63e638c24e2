"""ledgehitch: admits viewers to media hosts and sets the rate at which they play."""
