#!/usr/bin/env node
// npm links binaries at install, when the compiled program does not exist yet.
import "../dist/main.js";
