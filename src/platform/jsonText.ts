/** Reads JSON text without changing it: numbers and strings stay as they were written, blanks between them are dropped. */

/** Objects and arrays within each other; encoders and decoders of other programs recurse. */
const maximumDepth = 512;

/**
 * Limits the memory that decoding takes: a value of two characters can take fifty bytes and more. A configuration of 10,000
 * routes has about 130,000 values.
 */
const maximumValues = 250_000;

/** A number, true, false or null. */
const literal = /[^ \t\r\n,\]}]*/y;

const loneSurrogate = /\p{Surrogate}/u;

/** Text that cannot be read in full, or that readers understand differently. The message names the place. */
export class UnreadableTextError extends Error {}

/** One field of an object. */
export interface JsonField {
    readonly name: string;
    /** Value as JSON text. */
    readonly text: string;
    /** Texts of the elements if the value is an array. */
    readonly elements: readonly string[] | undefined;
}

/** Decodes UTF-8. Returns undefined if the bytes are not valid. */
export function decodeUtf8(bytes: Uint8Array): string | undefined {
    try {
        return new TextDecoder("utf-8", { fatal: true, ignoreBOM: true }).decode(bytes);
    }
    catch {
        // Replacing the invalid bytes would change what the sender wrote.
        return undefined;
    }
}

/**
 * Reads an object.
 * @returns its fields as text, and the decoded value
 * @throws UnreadableTextError if the text is not a JSON object, names a field of an object twice, holds half of a
 * surrogate pair, is nested too deeply or has too many values
 */
export function readJsonObject(
    text: string,
): { readonly fields: readonly JsonField[]; readonly value: Readonly<Record<string, unknown>>; } {
    if (text.startsWith("\ufeff")) {
        throw new UnreadableTextError("the text begins with a byte order mark");
    }
    if (countValues(text) > maximumValues) {
        throw new UnreadableTextError(`the text has more than ${maximumValues} values`);
    }
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        throw new UnreadableTextError(`not JSON: ${(error as Error).message}`);
    }
    if (typeof value !== "object" || !value || Array.isArray(value)) {
        throw new UnreadableTextError("not a JSON object");
    }
    return { fields: new JsonReader(text).readTopLevel(), value: value as Readonly<Record<string, unknown>> };
}

/** Counts what begins a value or separates two, without decoding anything. */
function countValues(text: string): number {
    let count = 0;
    for (let offset = 0; offset < text.length; offset++) {
        switch (text[offset]) {
            case "\"":
                offset = endOfString(text, offset);
                break;
            case ",":
            case "[":
            case "{":
                count += 1;
                break;
        }
    }
    return count;
}

/** Offset of the closing quotation mark, or of the end of the text if there is none. */
function endOfString(text: string, start: number): number {
    let end = text.indexOf("\"", start + 1);
    while (end !== -1 && isEscaped(text, end)) {
        end = text.indexOf("\"", end + 1);
    }
    return end === -1 ? text.length : end;
}

/** Whether an odd number of backslashes stands before the offset. */
function isEscaped(text: string, offset: number): boolean {
    let first = offset;
    while (text[first - 1] === "\\") {
        first -= 1;
    }
    return (offset - first) % 2 === 1;
}

/** Reads text that is known to be JSON. */
class JsonReader {
    private readonly text: string;
    private offset = 0;
    /** Names and positions that lead to the value that is read. */
    private readonly path: (string | number)[] = [];

    constructor(text: string) {
        this.text = text;
    }

    readTopLevel(): readonly JsonField[] {
        return this.readFields((_, name) => {
            if (this.nextCharacter() !== "[") {
                return { name, text: this.readValue(), elements: undefined };
            }
            const elements = this.readElements();
            return { name, text: `[${elements.join(",")}]`, elements };
        });
    }

    private readValue(): string {
        switch (this.nextCharacter()) {
            case "{": {
                const fields = this.readFields(token => `${token}:${this.readValue()}`);
                return `{${fields.join(",")}}`;
            }
            case "[":
                return `[${this.readElements().join(",")}]`;
            case "\"":
                return this.readString();
            default:
                return this.readLiteral();
        }
    }

    private readFields<Field>(readField: (token: string, name: string) => Field): readonly Field[] {
        const fields: Field[] = [];
        const names = new Set<string>();
        this.offset += 1;
        while (this.nextCharacter() !== "}") {
            const token = this.readString();
            const name = token.includes("\\") ? JSON.parse(token) as string : token.slice(1, -1);
            this.enter(name);
            if (names.has(name)) {
                throw this.error("is there twice");
            }
            names.add(name);
            this.nextCharacter();
            this.offset += 1;
            fields.push(readField(token, name));
            this.path.pop();
            this.skipComma();
        }
        this.offset += 1;
        return fields;
    }

    private readElements(): readonly string[] {
        const elements: string[] = [];
        this.offset += 1;
        while (this.nextCharacter() !== "]") {
            this.enter(elements.length);
            elements.push(this.readValue());
            this.path.pop();
            this.skipComma();
        }
        this.offset += 1;
        return elements;
    }

    private enter(step: string | number): void {
        this.path.push(step);
        if (this.path.length > maximumDepth) {
            throw this.error(`is nested more than ${maximumDepth} deep`);
        }
    }

    private readString(): string {
        const start = this.offset;
        this.offset = endOfString(this.text, start) + 1;
        const token = this.text.slice(start, this.offset);
        if (token.includes("\\u") && loneSurrogate.test(JSON.parse(token) as string)) {
            throw this.error("holds half of a surrogate pair");
        }
        return token;
    }

    private readLiteral(): string {
        literal.lastIndex = this.offset;
        const [token] = literal.exec(this.text)!;
        this.offset += token.length;
        return token;
    }

    private skipComma(): void {
        if (this.nextCharacter() === ",") {
            this.offset += 1;
        }
    }

    /** Skips blanks. */
    private nextCharacter(): string {
        let character = this.text[this.offset]!;
        while (character === " " || character === "\n" || character === "\r" || character === "\t") {
            this.offset += 1;
            character = this.text[this.offset]!;
        }
        return character;
    }

    private error(reason: string): UnreadableTextError {
        return new UnreadableTextError(`"${describePath(this.path)}" ${reason}`);
    }
}

/** The ends of a long path tell enough. */
function describePath(path: readonly (string | number)[]): string {
    const shown = path.length > 8 ? [...path.slice(0, 4), "...", ...path.slice(-3)] : path;
    return shown.map(step => String(step).slice(0, 100)).join(".");
}
