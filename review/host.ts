/** Hosts replicas in a process of their own, which a case starts from its own bundle. */
import type { ChildProcess } from "node:child_process";
import { fork } from "node:child_process";
import type { StandInStore } from "../platform/stand-ins/store.js";
import { bounds } from "./deployment.js";
import type { Record } from "./record.js";
import type { ReplicaOptions } from "./replica.js";
import { ReviewReplica } from "./replica.js";

type ToParent =
    | { readonly kind: "put"; readonly key: string; readonly value: unknown }
    | { readonly kind: "record"; readonly text: string };

/** Word in the arguments of the bundle that selects the replicas' process. */
const hostArgument = "replicas";

/** True in a process that hosts replicas. */
export const isHostProcess = process.argv[2] === hostArgument;

/** Name of the host, if a case starts several. */
export const hostName = process.argv[3] ?? "";

export type HostedReplica = Omit<ReplicaOptions, "onRecord">;

/** Runs replicas until the parent ends; `onMessage` is called with each word that the parent sends. */
export async function hostReplicas(
    replicas: readonly HostedReplica[],
    onMessage: (word: string) => void,
): Promise<readonly ReviewReplica[]> {
    const say = (message: ToParent): void => void process.send?.(message);
    const started: ReviewReplica[] = [];
    for (const options of replicas) {
        started.push(
            await ReviewReplica.create({
                ...options,
                onRecord: text => say({ kind: "record", text }),
            }),
        );
    }
    const lastBeats = new Map<string, { readonly at: number; readonly state: string }>();
    const beat = (): void => {
        for (const replica of started) {
            const { id } = replica.options;
            const last = lastBeats.get(id);
            const state = replica.describeState();
            const isDue = last === undefined || Date.now() - last.at >= bounds.heartbeatMilliseconds;
            if (isDue || state !== last.state) {
                lastBeats.set(id, { at: Date.now(), state });
                say({ kind: "put", key: `servers/${id}`, value: replica.registration() });
            }
        }
    };
    beat();
    setInterval(beat, 50);
    process.on("message", word => onMessage(String(word)));
    process.on("disconnect", () => process.exit(0));
    return started;
}

/** Reports a line for the record from a process that hosts replicas. */
export function recordFromHost(text: string): void {
    process.send?.({ kind: "record", text } satisfies ToParent);
}

export class ReplicaHost {
    /** Requests in the order in which replicas began to run them. */
    public readonly runs: { readonly replica: string; readonly request: string; readonly at: number }[] = [];
    /** Last registration of each replica. */
    public readonly registrations = new Map<string, unknown>();
    /** False while the replicas are partitioned from the store. */
    public isConnected = true;

    private constructor(private readonly child: ChildProcess) {}

    public static start(store: StandInStore, record: Record, name = ""): ReplicaHost {
        const child = fork(process.argv[1]!, [hostArgument, name], { stdio: "inherit" });
        const replicaHost = new ReplicaHost(child);
        child.on("message", received => {
            const message = received as ToParent;
            if (message.kind === "put") {
                replicaHost.registrations.set(message.key, message.value);
                if (replicaHost.isConnected) {
                    store.put(message.key, message.value);
                }
                return;
            }
            const run = /^replica (\S+) runs (\S+)$/.exec(message.text);
            if (run !== null) {
                replicaHost.runs.push({ replica: run[1]!, request: run[2]!, at: Date.now() });
            }
            record.line(message.text);
        });
        return replicaHost;
    }

    /** Number of groups whose head is open. */
    public get openGroups(): number {
        return [...this.registrations.values()].filter(
            value => (value as { readonly group?: { readonly State: string } }).group?.State === "open",
        ).length;
    }

    public send(word: string): void {
        this.child.send(word);
    }

    public close(): void {
        this.child.kill("SIGKILL");
    }
}
