#!/usr/bin/env node
// npm links binaries at install, when the compiled program does not exist yet,
// so the linked file must be in the repository.
import "../dist/main.js";
