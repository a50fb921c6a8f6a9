#!/usr/bin/env node
/** chervil-placer: replica groups, and orders to engines. */
import { startPlacerDaemon } from "../daemons/placer/daemons.js";
import { runDaemonCommand } from "./daemon-commands.js";

await runDaemonCommand(
    "chervil-placer",
    "Place replica groups and give orders to engines",
    startPlacerDaemon,
);
