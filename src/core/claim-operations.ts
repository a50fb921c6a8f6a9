/** Operations on one stored value of claims, and their effect on it. */
import type { ClaimRecord, ClaimTable } from "./claim-records.js";
import { formatClaims, maximumClaimableLength, maximumValueLength } from "./claim-records.js";

/** A requested change of one record. `nonce` identifies the claim attempt. */
export type ClaimOperation =
    | { readonly kind: "claim"; readonly key: string; readonly nonce: string; readonly record: ClaimRecord }
    | { readonly kind: "settle"; readonly key: string; readonly nonce: string; readonly record: ClaimRecord }
    | { readonly kind: "release"; readonly key: string; readonly nonce: string };

/**
 * Outcome of an operation. "taken": another attempt holds the key. "gone": the attempt has no record that the operation
 * could change. "full": the value has no capacity for more claims.
 */
export type OperationOutcome =
    | { readonly kind: "written" }
    | { readonly kind: "taken"; readonly record: ClaimRecord }
    | { readonly kind: "gone" }
    | { readonly kind: "full" };

/** An operation whose outcome is known. */
export interface ResolvedOperation {
    readonly operation: ClaimOperation;
    readonly outcome: OperationOutcome;
}

/** A new value to write, the operations that it contains, and the operations resolved without a write. */
export interface ClaimDraft {
    readonly table: ClaimTable;
    readonly text: string;
    readonly writes: readonly ClaimOperation[];
    readonly resolved: readonly ResolvedOperation[];
}

/** Effect of one operation on a table: a record to set (undefined deletes it), or an outcome without a write. */
type OperationEffect = { readonly set: ClaimRecord | undefined } | { readonly outcome: OperationOutcome };

/** Returns the effect of an operation, given the existing record; checkers replace it by broken functions. */
export type ApplyOperation = (
    operation: ClaimOperation,
    existing: ClaimRecord | undefined,
) => OperationEffect;

/** The production rule: an attempt changes only its own record, and claims only a key without a record. */
export const applyOperationToRecord: ApplyOperation = (operation, existing) => {
    const isOwn = existing?.nonce === operation.nonce;
    switch (operation.kind) {
        case "claim":
            if (existing === undefined) {
                return { set: operation.record };
            }
            return { outcome: isOwn ? { kind: "written" } : { kind: "taken", record: existing } };
        case "settle":
            return isOwn ? { set: operation.record } : { outcome: { kind: "gone" } };
        case "release":
            return isOwn && existing.state === "claimed" ? { set: undefined } : { outcome: { kind: "gone" } };
    }
};

/** Options of `draftClaims`. */
export interface DraftOptions {
    readonly writer: string;
    /**
     * If false, a release is written even if it changes no record: the new revision fences a lost write that may still
     * take effect.
     */
    readonly isFenced: boolean;
    readonly applyOperation: ApplyOperation;
    /** Length in characters of the table's text in the store. */
    readonly tableLength: number;
}

/** Applies operations to a copy of the table, in order. */
export function draftClaims(
    table: ClaimTable,
    operations: readonly ClaimOperation[],
    options: DraftOptions,
): ClaimDraft {
    const draft = new Map(table);
    const writes: ClaimOperation[] = [];
    const resolved: ResolvedOperation[] = [];
    const isFull = options.tableLength > maximumClaimableLength;
    for (const operation of operations) {
        const effect = options.applyOperation(operation, draft.get(operation.key));
        if ("outcome" in effect) {
            const mustFence = operation.kind === "release" && !options.isFenced;
            if (mustFence) {
                writes.push(operation);
            } else {
                resolved.push({ operation, outcome: effect.outcome });
            }
        } else if (operation.kind === "claim" && isFull) {
            resolved.push({ operation, outcome: { kind: "full" } });
        } else {
            setOrDelete(draft, operation.key, effect.set);
            writes.push(operation);
        }
    }
    return { table: draft, text: formatBounded(draft, options.writer), writes, resolved };
}

function setOrDelete(draft: Map<string, ClaimRecord>, key: string, record: ClaimRecord | undefined): void {
    if (record === undefined) {
        draft.delete(key);
    } else {
        draft.set(key, record);
    }
}

// Response bodies are dropped if the value would exceed its maximum length; status and digest are kept.
function formatBounded(draft: Map<string, ClaimRecord>, writer: string): string {
    const text = formatClaims(draft, writer);
    if (text.length <= maximumValueLength) {
        return text;
    }
    for (const [key, record] of draft) {
        if (record.answer !== undefined) {
            draft.set(key, { ...record, answer: { ...record.answer, body: "", bodyOmitted: true } });
        }
    }
    return formatClaims(draft, writer);
}
