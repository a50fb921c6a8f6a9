/** Structured logs by bunyan, with a fixed prefix for each part. */
import bunyan from "bunyan";

/** Parts whose log lines share a prefix. */
export type LogPart =
    "entry" | "placer" | "mesh" | "store" | "caller" | "service" | "stream" | "control" | "peer";

/** Writes short sentences for one part. */
export interface PartLog {
    readonly debug: (sentence: string, fields?: Readonly<Record<string, unknown>>) => void;
    readonly info: (sentence: string, fields?: Readonly<Record<string, unknown>>) => void;
    readonly warn: (sentence: string, fields?: Readonly<Record<string, unknown>>) => void;
    readonly error: (sentence: string, fields?: Readonly<Record<string, unknown>>) => void;
}

/** Returns the log of a part. */
export type Logs = (part: LogPart) => PartLog;

/** Takes whole lines. */
export interface LineOutput {
    readonly write: (line: string) => void;
}

/** Logs as JSON lines, to standard error unless another output is given. */
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
            (sentence: string, fields: Readonly<Record<string, unknown>> = {}): void => {
                logger[method]({ part, ...fields }, `${part}: ${sentence}`);
            };
        return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
    };
}
