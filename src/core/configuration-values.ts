/** Validates the values of single paths and assembles them into the whole configuration. */
import type { Fault, Result } from "./errors.js";
import { fail, succeed, unwrap } from "./errors.js";
import type {
    ModelSettings,
    ParsedPath,
    PathKind,
    PathValue,
    PlacementPolicy,
    RequestLimits,
    RetryLimits,
    SealingKeys,
    ServiceSettings,
    StreamLimits,
} from "./configuration-schemas.js";
import { parsePath, pathSchemas } from "./configuration-schemas.js";
import type { Subscriber, Team, TeamId } from "./teams.js";

/** Prefix of every configuration path. */
export const configurationPrefix = "config/";

/** Maximum length of a value, in characters. */
export const maximumConfigurationValueCharacters = 65_536;

/** The checked value of one path. */
export interface ConfigurationValue {
    readonly path: ParsedPath;
    readonly value: unknown;
}

/** The operators' whole configuration in force at one revision. */
export interface Configuration {
    /** Store revision up to which every accepted change is in force. */
    readonly revision: number;
    readonly teams: ReadonlyMap<TeamId, Team>;
    readonly models: ReadonlyMap<string, ModelSettings>;
    readonly services: ReadonlyMap<string, ServiceSettings>;
    readonly placement: PlacementPolicy;
    readonly limits: {
        readonly requests: RequestLimits;
        readonly streams: StreamLimits;
        readonly retries: RetryLimits;
    };
    /** Keys that seal resume tokens; undefined until operators have set them. */
    readonly sealingKeys: SealingKeys | undefined;
}

function invalidConfiguration(message: string, path: readonly (string | number)[]): Fault {
    return { code: "invalidConfiguration", message, step: "configure", path, notRun: true };
}

function parseJson(text: string): { readonly document: unknown } | undefined {
    try {
        return { document: JSON.parse(text) };
    } catch {
        return undefined;
    }
}

/** Validates the value of one path; a fault's path is the key, then the invalid field. Messages contain no values. */
export function safeParseConfigurationValue(path: string, text: string): Result<ConfigurationValue> {
    const parsedPath = parsePath(path);
    if (parsedPath === undefined) {
        return fail(invalidConfiguration(`path "${path}" is not a known configuration path`, [path]));
    }
    if (text.length > maximumConfigurationValueCharacters) {
        const message = `value of "${path}" is longer than ${maximumConfigurationValueCharacters} characters`;
        return fail(invalidConfiguration(message, [path]));
    }
    const json = parseJson(text);
    if (json === undefined) {
        return fail(invalidConfiguration(`value of "${path}" is not valid JSON`, [path]));
    }
    const parsed = pathSchemas[parsedPath.kind].schema.safeParse(json.document);
    if (parsed.success) {
        return succeed({ path: parsedPath, value: parsed.data });
    }
    const issue = parsed.error.issues[0];
    const fields = (issue?.path ?? []).map(part => (typeof part === "number" ? part : String(part)));
    const field = fields.length > 0 ? `field "${fields.join(".")}" of "${path}"` : `value of "${path}"`;
    return fail(invalidConfiguration(`${field}: ${issue?.message ?? "is invalid"}`, [path, ...fields]));
}

/** Validates the value of one path; throws a ChervilError if it is invalid. */
export function parseConfigurationValue(path: string, text: string): ConfigurationValue {
    return unwrap(safeParseConfigurationValue(path, text));
}

interface PartialTeam {
    share?: number;
    rank?: number;
    models?: readonly string[];
    services?: readonly string[];
    limits?: Team["limits"];
    readonly subscribers: Subscriber[];
}

function addToTeam(parts: PartialTeam, entry: ConfigurationValue): void {
    switch (entry.path.kind) {
        case "teamShare":
            parts.share = entry.value as number;
            break;
        case "teamRank":
            parts.rank = entry.value as number;
            break;
        case "teamModels":
            parts.models = entry.value as readonly string[];
            break;
        case "teamServices":
            parts.services = entry.value as readonly string[];
            break;
        case "teamLimits":
            parts.limits = entry.value as Team["limits"];
            break;
        case "subscriber":
            parts.subscribers.push({
                id: entry.path.names[1]!,
                credentialHash: (entry.value as PathValue<"subscriber">).credentialHash,
            });
            break;
        default:
            break;
    }
}

function createTeam(id: TeamId, parts: PartialTeam): Team {
    return {
        id,
        share: parts.share ?? pathSchemas.teamShare.schema.parse(undefined),
        rank: parts.rank ?? pathSchemas.teamRank.schema.parse(undefined),
        models: parts.models ?? [],
        services: parts.services ?? [],
        limits: parts.limits ?? pathSchemas.teamLimits.schema.parse({}),
        subscribers: parts.subscribers,
    };
}

function isTeamPath(kind: PathKind): boolean {
    return kind === "subscriber" || kind.startsWith("team");
}

function collectTeams(entries: readonly ConfigurationValue[]): ReadonlyMap<TeamId, Team> {
    const parts = new Map<TeamId, PartialTeam>();
    for (const entry of entries.filter(candidate => isTeamPath(candidate.path.kind))) {
        const id = entry.path.names[0]!;
        const team = parts.get(id) ?? { subscribers: [] };
        addToTeam(team, entry);
        parts.set(id, team);
    }
    return new Map([...parts].map(([id, team]) => [id, createTeam(id, team)]));
}

/** Assembles the whole configuration from the values in force; unset values have their defaults. */
export function assembleConfiguration(
    revision: number,
    entries: readonly ConfigurationValue[],
): Configuration {
    const single = <Kind extends PathKind>(kind: Kind): PathValue<Kind> | undefined =>
        entries.find(entry => entry.path.kind === kind)?.value as PathValue<Kind> | undefined;
    const named = <Kind extends PathKind>(kind: Kind): ReadonlyMap<string, PathValue<Kind>> =>
        new Map(
            entries
                .filter(entry => entry.path.kind === kind)
                .map(entry => [entry.path.names[0]!, entry.value as PathValue<Kind>]),
        );
    return {
        revision,
        teams: collectTeams(entries),
        models: named("model"),
        services: named("service"),
        placement: single("placementPolicy") ?? pathSchemas.placementPolicy.schema.parse({}),
        limits: {
            requests: single("requestLimits") ?? pathSchemas.requestLimits.schema.parse({}),
            streams: single("streamLimits") ?? pathSchemas.streamLimits.schema.parse({}),
            retries: single("retryLimits") ?? pathSchemas.retryLimits.schema.parse({}),
        },
        sealingKeys: single("sealingKeys"),
    };
}
