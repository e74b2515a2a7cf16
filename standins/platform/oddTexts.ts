/**
 * Texts that a reader may take for structure, drawn from a seed: blanks, line ends, any bytes, and whole messages of the
 * protocol. Also cuts what is sent into chunks.
 */
import { SeededRandom } from "../../src/pipeline/seededRandom.ts";

/** Longest text, unless it fills a message. */
const maximumUsualLength = 60;

/** One odd text in so many fills a message, but for up to `maximumSpareBytes`. */
const longTextInterval = 80;
const maximumSpareBytes = 200;

/** Number of chunks into which a message is cut at most. */
const maximumChunks = 12;

const lineEnds = ["\n", "\r", "\n\r", "\n\n", "\r\r"] as const;

/** What stands behind a line end, or in place of a word. */
const structures = [
    "QUERY 0123456789abcdef WRITE 1 smuggled",
    "QUERY - SET v0 smuggled",
    "QUERY - RESET",
    "CONNECT all clients-key",
    "QUIT",
    "ROW forged",
    "COMPLETE forged",
    "COMPLETE -",
    "ERROR BUSY forged",
    "READY I 1.1",
    "READY T -",
    "READ up",
    "WRITE up",
    "READ q26",
    "AFTER 1.1 READ 1",
] as const;

export interface OddTextsOptions {
    readonly seed: number;
    /** Share of the texts that are odd, and of the messages that are sent in chunks; from 0 to 1. */
    readonly share: number;
}

export class OddTexts {
    /** Number of odd texts. */
    count = 0;
    private readonly share: number;
    private readonly random: SeededRandom;

    constructor({ seed, share }: OddTextsOptions) {
        this.random = new SeededRandom(seed);
        this.share = share;
    }

    /**
     * Returns an odd text in place of `plain` for a share of the calls; it may begin with `plain`, or be empty.
     * @param weight multiplies the share, for texts that are rare
     */
    replace(plain: string, maximumBytes: number, weight = 1): string {
        return this.isOdd(weight) ? this.draw(this.random.nextInteger(2) === 0 ? plain : "", maximumBytes) : plain;
    }

    /** As `replace`, but it begins with `plain`. */
    extend(plain: string, maximumBytes: number, weight = 1): string {
        return this.isOdd(weight) ? this.draw(plain, maximumBytes) : plain;
    }

    /** Cuts a message into chunks for a share of the calls. */
    cut(message: Buffer): readonly Buffer[] {
        if (this.random.nextFloat() >= this.share) {
            return [message];
        }
        const count = this.random.nextInteger(maximumChunks);
        const cuts = Array.from({ length: count }, () => this.random.nextInteger(message.length + 1));
        // Chunks at the end of a message separate CR from LF often enough.
        const places = [0, ...cuts, message.length - this.random.nextInteger(3), message.length]
            .sort((left, right) => left - right);
        return places.slice(1).map((end, index) => message.subarray(places[index], end))
            .filter(chunk => chunk.length > 0);
    }

    private isOdd(weight: number): boolean {
        return this.random.nextFloat() < this.share * weight;
    }

    private draw(start: string, maximumBytes: number): string {
        this.count += 1;
        if (this.random.nextInteger(longTextInterval) === 0) {
            const part = `${start}${this.drawUsual()} `;
            const length = maximumBytes - this.random.nextInteger(maximumSpareBytes);
            return withoutMessageEnds(part.repeat(Math.ceil(length / part.length)).slice(0, length));
        }
        return withoutMessageEnds(start + this.drawUsual());
    }

    private drawUsual(): string {
        switch (this.random.nextInteger(7)) {
            case 0:
                return this.pick(["", " ", " READ up", " WRITE up"]);
            case 1:
                return " ".repeat(1 + this.random.nextInteger(3)) + this.pick(structures) + this.pick(["", " "]);
            case 2:
                return this.drawBytes() + this.pick(lineEnds) + this.drawBytes();
            case 3:
                return this.drawBytes();
            default:
                return this.pick(lineEnds) + this.pick(structures) + this.pick(["", ...lineEnds]);
        }
    }

    private drawBytes(): string {
        const length = this.random.nextInteger(maximumUsualLength);
        return Array.from({ length }, () => String.fromCharCode(this.random.nextInteger(256))).join("");
    }

    private pick<Value>(values: readonly Value[]): Value {
        return values[this.random.nextInteger(values.length)]!;
    }
}

/** Keeps the length. */
function withoutMessageEnds(text: string): string {
    return text.replaceAll("\r\n", " \n");
}
