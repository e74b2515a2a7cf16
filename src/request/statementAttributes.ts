/** Parses the statement attributes that callers pass in sqlcommenter comments. */
import * as z from "zod";
import type { StatementAttributes } from "../model/statement.ts";

/** The parsed attributes, or a description of the first error. */
export type AttributeParseResult =
    | { readonly attributes: StatementAttributes; readonly error: undefined; }
    | { readonly attributes: undefined; readonly error: string; };

const attributeNames = {
    workClass: "class",
    requestId: "request_id",
    maximumAgeMs: "max_age_ms",
    sessionToken: "session_token",
} as const;

const schema = z.object({
    workClass: z.string().regex(/^[\w.-]{1,64}$/, "1 to 64 letters, digits, '_', '.' or '-'").optional(),
    requestId: z.string().regex(/^[\x21-\x7e]{1,128}$/, "1 to 128 printable characters without spaces").optional(),
    maximumAgeMs: z.string().regex(/^\d{1,9}$/, "a whole number of milliseconds").transform(Number).optional(),
    sessionToken: z.string().regex(/^[\w.~-]{1,4096}$/, "a token as returned by SHOW JASMINELINE SESSION").optional(),
});

const noAttributes: StatementAttributes = {
    workClass: undefined,
    requestId: undefined,
    maximumAgeMs: undefined,
    sessionToken: undefined,
};

/**
 * Parses the attributes of a statement from the bodies of its comments. Ignores comments that do not consist of
 * `key='value'` pairs, and keys that are not in `attributeNames`, which belong to other tools.
 */
export function parseAttributes(comments: readonly string[]): AttributeParseResult {
    const pairs = new Map<string, string>();
    for (const comment of comments) {
        for (const [key, value] of parsePairs(comment)) {
            if (pairs.has(key) && isProxyAttribute(key)) {
                return { attributes: undefined, error: `${key} is given twice` };
            }
            pairs.set(key, value);
        }
    }
    return pairs.size === 0 ? { attributes: noAttributes, error: undefined } : validatePairs(pairs);
}

function validatePairs(pairs: ReadonlyMap<string, string>): AttributeParseResult {
    const raw = Object.fromEntries(
        Object.entries(attributeNames).flatMap(([field, key]) => pairs.has(key) ? [[field, pairs.get(key)]] : []),
    );
    const checked = schema.safeParse(raw);
    if (checked.success) {
        return { attributes: { ...noAttributes, ...checked.data } as StatementAttributes, error: undefined };
    }
    const issue = checked.error.issues[0]!;
    const key = attributeNames[issue.path[0] as keyof typeof attributeNames];
    return { attributes: undefined, error: `${key} must be ${issue.message}` };
}

function parsePairs(comment: string): readonly (readonly [string, string])[] {
    const body = comment.trim();
    if (!/^[^=',\s]+='(?:[^'\\]|\\.)*'(?:\s*,\s*[^=',\s]+='(?:[^'\\]|\\.)*')*$/.test(body)) {
        return mentionsProxyAttribute(body) ? [["class", ""]] : [];
    }
    return [...body.matchAll(/([^=',\s]+)='((?:[^'\\]|\\.)*)'/g)].map(found => [
        decode(found[1]!),
        decode(found[2]!.replaceAll("\\'", "'")),
    ]);
}

/** Decodes percent-encoding. Returns malformed input unchanged, so that the validation of the value reports it. */
function decode(text: string): string {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return text;
    }
}

/**
 * Detects malformed attributes such as `class=orders`. Ignoring one as an ordinary comment would run the statement with
 * the wrong targets.
 */
function mentionsProxyAttribute(body: string): boolean {
    return Object.values(attributeNames).some(name => new RegExp(`(^|,)\\s*${name}\\s*=`).test(body));
}

function isProxyAttribute(key: string): boolean {
    return (Object.values(attributeNames) as string[]).includes(key);
}
