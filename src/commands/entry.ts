#!/usr/bin/env node
/** chervil-entry: serves callers' requests. */
import { startEntryDaemon } from "../daemons/entry/entries.js";
import { runDaemonCommand } from "./daemon-commands.js";

await runDaemonCommand("chervil-entry", "Serve callers", startEntryDaemon);
