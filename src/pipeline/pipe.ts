/** A sequence of filters that a message passes through. */
import type { Filter } from "./filter.ts";
import type { Message } from "./message.ts";

export class Pipe {
    readonly name: string;
    /** Message kinds that at least one filter of this pipe accepts. */
    readonly accepts: ReadonlySet<string>;
    private readonly filters: readonly Filter[];
    /** For each message kind, the indexes of the filters that accept it, in ascending order. */
    private readonly filterIndexesByKind: ReadonlyMap<string, readonly number[]>;

    /**
     * @param name name of the pipe in traces and errors
     * @param filters in processing order; each may have its own message types
     */
    // The element type is erased because each filter narrows Message to its own kinds, which `accepts` guarantees.
    // eslint-disable-next-line @typescript-eslint/no-explicit-any
    constructor(name: string, filters: readonly Filter<any, any>[]) {
        this.name = name;
        this.filters = filters;
        this.filterIndexesByKind = indexByKind(filters);
        this.accepts = new Set(this.filterIndexesByKind.keys());
    }

    /** Passes a message through the filters and returns the messages that leave the last one, in order. */
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
