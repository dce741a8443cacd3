"""Pure scheduling decisions: order of service, admission, choice of upstream."""
