#!/usr/bin/env node
/** chervil-placer: places replica groups and gives orders to engines. */
import { startPlacerDaemon } from "../daemons/placer/daemons.js";
import { runDaemonCommand } from "./daemon-commands.js";

await runDaemonCommand(
    "chervil-placer",
    "Place replica groups and give orders to engines",
    startPlacerDaemon,
);
