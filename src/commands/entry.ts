#!/usr/bin/env node
/** chervil-entry: the callers' data path. */
import { startEntry } from "../daemons/entry/entries.js";
import { runDaemonCommand } from "./daemon-commands.js";

await runDaemonCommand("chervil-entry", "Serve callers", startEntry);
