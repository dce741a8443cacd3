"""Pure scheduling decisions: service order, admission, choice of upstream."""
