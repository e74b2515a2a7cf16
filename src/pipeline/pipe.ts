/** A line of filters. */
import type { Filter } from "./filter.ts";
import type { Message } from "./message.ts";

export class Pipe {
    readonly name: string;
    /** Kinds that enter this pipe as events. */
    readonly accepts: ReadonlySet<string>;
    private readonly filters: readonly Filter[];
    /** For each kind, the positions of the filters that accept it, in order. */
    private readonly filterIndexesByKind: ReadonlyMap<string, readonly number[]>;

    /**
     * @param name name of the pipe in traces and errors
     * @param filters the steps in order; each may have its own message types
     */
    // The element type is erased because every filter narrows Message to its own kinds, which `accepts` guards.
    // eslint-disable-next-line @typescript-eslint/no-explicit-any
    constructor(name: string, filters: readonly Filter<any, any>[]) {
        this.name = name;
        this.filters = filters;
        this.filterIndexesByKind = indexByKind(filters);
        this.accepts = new Set(this.filterIndexesByKind.keys());
    }

    /** Sends one message through the line and returns, in order, what leaves its end. */
    process(message: Message, nowMs: number): readonly Message[] {
        const outputs: Message[] = [];
        this.processFrom(message, 0, nowMs, outputs);
        return outputs;
    }

    private processFrom(message: Message, startIndex: number, nowMs: number, outputs: Message[]): void {
        const index = this.filterIndexesByKind.get(message.kind)?.find(candidate => candidate >= startIndex);
        if (index === undefined) {
            outputs.push(message);
            return;
        }
        for (const output of this.filters[index]!.process(message, nowMs)) {
            this.processFrom(output, index + 1, nowMs, outputs);
        }
    }
}

function indexByKind(filters: readonly Filter[]): Map<string, number[]> {
    const indexes = new Map<string, number[]>();
    filters.forEach((filter, index) => {
        for (const kind of filter.accepts) {
            indexes.set(kind, [...indexes.get(kind) ?? [], index]);
        }
    });
    return indexes;
}
