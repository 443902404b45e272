package main

import "time"

// stable is StableMs of the site files.
const stable = 3 * time.Second
