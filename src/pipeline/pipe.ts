/** A line of filters. */
import type { Filter } from "./filter.ts";
import type { Message } from "./message.ts";

export class Pipe {
    readonly name: string;
    /** Kinds that enter this pipe as events. */
    readonly accepts: ReadonlySet<string>;
    private readonly filters: readonly Filter[];
    /** For each kind, the positions of the filters that accept it, in order. */
    private readonly positionsByKind: ReadonlyMap<string, readonly number[]>;

    /**
     * @param name name of the pipe in traces and errors
     * @param filters the steps in order; each may have its own message types
     */
    // The element type is erased because every filter narrows Message to its own kinds, which `accepts` guards.
    // eslint-disable-next-line @typescript-eslint/no-explicit-any
    constructor(name: string, filters: readonly Filter<any, any>[]) {
        this.name = name;
        this.filters = filters;
        this.positionsByKind = indexByKind(filters);
        this.accepts = new Set(this.positionsByKind.keys());
    }

    /** Sends one message through the line and returns, in order, what leaves its end. */
    push(message: Message, nowMs: number): readonly Message[] {
        const left: Message[] = [];
        this.advance(message, 0, nowMs, left);
        return left;
    }

    private advance(message: Message, start: number, nowMs: number, left: Message[]): void {
        const position = this.positionsByKind.get(message.kind)?.find(candidate => candidate >= start);
        if (position === undefined) {
            left.push(message);
            return;
        }
        for (const output of this.filters[position]!.process(message, nowMs)) {
            this.advance(output, position + 1, nowMs, left);
        }
    }
}

function indexByKind(filters: readonly Filter[]): Map<string, number[]> {
    const positions = new Map<string, number[]>();
    filters.forEach((filter, position) => {
        for (const kind of filter.accepts) {
            positions.set(kind, [...positions.get(kind) ?? [], position]);
        }
    });
    return positions;
}
