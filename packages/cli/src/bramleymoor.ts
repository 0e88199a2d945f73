#!/usr/bin/env node
/** Entry point of the operators' command-line program. */

import { randomUUID } from "node:crypto";
import { grammars } from "@bramleymoor/config/version";
import { sleep } from "@bramleymoor/platform/timers";
import { monotonicMs } from "./clock.js";
import { Program } from "./program.js";
import { Terminal } from "./terminal.js";

const program = new Program({
    terminal: new Terminal(process.stdout, process.stderr, process.env),
    sleep,
    random: Math.random,
    now: monotonicMs,
    newId: randomUUID,
    grammars,
});

process.exitCode = await program.run(process.argv.slice(2));
