/**
 * Branching on messages: the syntax and the types of ts-pattern. A busy process branches some ten thousand times a second,
 * so patterns are compared without the arrays and matcher objects that ts-pattern makes for each comparison. Selections,
 * guards and the other matchers of ts-pattern are left out.
 */
import type { match as matchOfTsPattern, P as patternsOfTsPattern } from "ts-pattern";

interface Matcher {
    matches(value: unknown): boolean;
}

class AnyValue implements Matcher {
    matches(): boolean {
        return true;
    }
}

class AnyString implements Matcher {
    matches(value: unknown): boolean {
        return typeof value === "string";
    }
}

class Union implements Matcher {
    private readonly patterns: readonly unknown[];

    constructor(patterns: readonly unknown[]) {
        this.patterns = patterns;
    }

    matches(value: unknown): boolean {
        return this.patterns.some(pattern => isMatch(pattern, value));
    }
}

type Patterns = Pick<typeof patternsOfTsPattern, "any" | "string" | "union">;

export const P = {
    any: new AnyValue(),
    string: new AnyString(),
    union: (...patterns: readonly unknown[]) => new Union(patterns),
} as unknown as Patterns;

/** Evaluates to the result of the handler that stands behind the first pattern that matches. */
class MatchExpression {
    private readonly value: unknown;
    private hasResult = false;
    private result: unknown;

    constructor(value: unknown) {
        this.value = value;
    }

    with(...patternsAndHandler: readonly unknown[]): this {
        const handlerIndex = patternsAndHandler.length - 1;
        for (let index = 0; index < handlerIndex && !this.hasResult; index++) {
            if (isMatch(patternsAndHandler[index], this.value)) {
                this.hasResult = true;
                this.result = (patternsAndHandler[handlerIndex] as (value: unknown) => unknown)(this.value);
            }
        }
        return this;
    }

    otherwise(handler: (value: unknown) => unknown): unknown {
        return this.hasResult ? this.result : handler(this.value);
    }

    /** @throws Error if no pattern has matched, which the types rule out for values of the declared type */
    exhaustive(): unknown {
        if (!this.hasResult) {
            const { kind } = Object(this.value) as { readonly kind?: unknown; };
            throw new Error(`no branch for ${kind === undefined ? typeof this.value : String(kind)}`);
        }
        return this.result;
    }
}

export const match = ((value: unknown) => new MatchExpression(value)) as unknown as typeof matchOfTsPattern;

function isMatch(pattern: unknown, value: unknown): boolean {
    if (!isObject(pattern)) {
        return Object.is(pattern, value);
    }
    if (pattern instanceof Union || pattern instanceof AnyString || pattern instanceof AnyValue) {
        return pattern.matches(value);
    }
    if (!isObject(value)) {
        return false;
    }
    for (const key in pattern) {
        if (!(key in value) || !isMatch(pattern[key], value[key])) {
            return false;
        }
    }
    return true;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && Boolean(value);
}
