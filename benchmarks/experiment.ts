/** Types of experiments and of their one-line reports. */

/** One experiment's result; `holds` is true only if every target is met by the measured policy. */
export interface ExperimentReport {
    readonly experiment: string;
    readonly seed: number;
    readonly target: Readonly<Record<string, unknown>>;
    readonly measured: Readonly<Record<string, unknown>>;
    readonly baseline: Readonly<Record<string, unknown>>;
    readonly holds: boolean;
}

/** Runs one experiment with a seed. */
export type Experiment = (seed: number) => Promise<ExperimentReport> | ExperimentReport;
