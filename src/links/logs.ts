/** Structured logs by bunyan, with a fixed prefix for each part of the system. */
import bunyan from "bunyan";

/** Parts of the system; each one's log messages share a prefix. */
export type LogPart =
    "entry" | "placer" | "mesh" | "store" | "caller" | "service" | "stream" | "control" | "peer";

/** Logger of one part. */
export interface PartLogger {
    readonly debug: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
    readonly info: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
    readonly warn: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
    readonly error: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
}

/** Returns the logger of a part. */
export type Logs = (part: LogPart) => PartLogger;

/** Receives complete log lines. */
export interface LineOutput {
    readonly write: (line: string) => void;
}

/** Creates loggers that write JSON lines, to standard error unless another output is given. */
export function createLogs(
    processName: string,
    level: "debug" | "info" | "warn" | "error",
    output: LineOutput = process.stderr,
): Logs {
    const stream = output as NodeJS.WritableStream;
    const logger = bunyan.createLogger({ name: processName, level, stream });
    return part => {
        const write =
            (method: "debug" | "info" | "warn" | "error") =>
            (message: string, fields: Readonly<Record<string, unknown>> = {}): void => {
                logger[method]({ part, ...fields }, `${part}: ${message}`);
            };
        return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
    };
}
