/** Parses the bodies of OpenAI-compatible completion requests. */
import * as z from "zod";
import type { Fault, Result } from "../../core/errors.js";
import { fail, succeed } from "../../core/errors.js";

const maximumPromptCharacters = 400_000;
const defaultMaximumTokens = 256;

const sharedFields = {
    model: z.string().min(1).max(200),
    max_tokens: z.number().int().positive().optional(),
    stream: z.boolean().default(false),
    /** The part of the answer that the caller received before its stream was lost. */
    chervil_delivered: z.string().max(maximumPromptCharacters).optional(),
};

const completionSchema = z.object({
    ...sharedFields,
    prompt: z.string().min(1).max(maximumPromptCharacters),
});

const chatSchema = z.object({
    ...sharedFields,
    messages: z
        .array(
            z.object({
                role: z.enum(["system", "user", "assistant"]),
                content: z.string().max(maximumPromptCharacters),
            }),
        )
        .min(1),
});

/** The API form of a request: text completion or chat completion. */
export type CompletionForm = "completion" | "chat";

/** Body of a completion request after validation. */
export interface CompletionBody {
    readonly form: CompletionForm;
    readonly model: string;
    readonly prompt: string;
    readonly maximumTokens: number;
    readonly stream: boolean;
    readonly delivered?: string;
}

/** Returns an `invalidRequest` fault; `path` leads to the invalid field of the body. */
export function invalidRequest(message: string, path: readonly (string | number)[] = []): Fault {
    return { code: "invalidRequest", message, step: "parse", path, notRun: true };
}

/** Returns the maximum nesting depth of arrays and objects in a JSON text, without parsing it. */
export function measureJsonDepth(text: string): number {
    let depth = 0;
    let deepest = 0;
    let inString = false;
    for (let index = 0; index < text.length; index += 1) {
        const character = text[index];
        if (inString) {
            index += character === "\\" ? 1 : 0;
            inString = character !== '"';
        } else if (character === '"') {
            inString = true;
        } else if (character === "{" || character === "[") {
            depth += 1;
            deepest = Math.max(deepest, depth);
        } else if (character === "}" || character === "]") {
            depth -= 1;
        }
    }
    return deepest;
}

/** Parses JSON; a text nested deeper than `maximumDepth` is refused before it is parsed. */
export function safeParseJson(text: string, maximumDepth: number): Result<unknown> {
    if (measureJsonDepth(text) > maximumDepth) {
        return fail(invalidRequest(`the body is nested deeper than ${maximumDepth} levels`));
    }
    try {
        return succeed(JSON.parse(text) as unknown);
    } catch (thrown) {
        const message = thrown instanceof Error ? thrown.message : String(thrown);
        return fail(invalidRequest(`the body is not valid JSON: ${message}`));
    }
}

/** Parses and validates the body of a completion request. */
export function safeParseCompletion(
    form: CompletionForm,
    text: string,
    maximumDepth: number,
): Result<CompletionBody> {
    const json = safeParseJson(text, maximumDepth);
    if (!json.success) {
        return json;
    }
    const parsed =
        form === "completion" ? completionSchema.safeParse(json.data) : chatSchema.safeParse(json.data);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        const path = (issue?.path ?? []).map(part => (typeof part === "number" ? part : String(part)));
        return fail(invalidRequest(`field "${path.join(".")}": ${issue?.message ?? "invalid"}`, path));
    }
    const { model, stream } = parsed.data;
    return succeed({
        form,
        model,
        stream,
        prompt: toPrompt(parsed.data),
        maximumTokens: parsed.data.max_tokens ?? defaultMaximumTokens,
        delivered: parsed.data.chervil_delivered,
    });
}

function toPrompt(body: z.infer<typeof completionSchema> | z.infer<typeof chatSchema>): string {
    if ("prompt" in body) {
        return body.prompt;
    }
    const lines = body.messages.map(message => `${message.role}: ${message.content}`);
    return `${lines.join("\n")}\nassistant: `;
}

/** Counts the tokens of a text: its runs of characters other than white space. */
export function countTokens(text: string): number {
    let count = 0;
    let inToken = false;
    for (const character of text) {
        const isSpace = character.trim() === "";
        count += isSpace && inToken ? 1 : 0;
        inToken = !isSpace;
    }
    return inToken ? count + 1 : count;
}
