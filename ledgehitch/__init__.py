"""ledgehitch: a session front that places viewings on media hosts and sets the rate at which they play."""

__version__ = "0.2.0"
