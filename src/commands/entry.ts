#!/usr/bin/env node
/** chervil-entry: serves callers' requests. */
import { startEntryDaemon } from "../daemons/entry/entry-daemon.js";
import { runDaemonCommand } from "./daemon-command.js";

await runDaemonCommand("chervil-entry", "Serve callers", startEntryDaemon);
