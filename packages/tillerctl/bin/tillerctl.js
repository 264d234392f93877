#!/usr/bin/env node
// npm links a binary at install, when the compiled program is not there yet.
import "../dist/main.js";
