#!/usr/bin/env node
/** chervil-placer: places replica groups and gives orders to engines. */
import { startPlacerDaemon } from "../daemons/placer/placer-daemon.js";
import { runDaemonCommand } from "./daemon-command.js";

await runDaemonCommand(
    "chervil-placer",
    "Place replica groups and give orders to engines",
    startPlacerDaemon,
);
