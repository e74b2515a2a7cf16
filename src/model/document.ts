/**
 * Configuration documents. An operator sends a whole, versioned document; it is stored as entries, so that only the
 * entries that changed are replicated.
 */
import type { Message } from "../pipeline/message.ts";
import type { TrafficPolicy } from "./trafficPolicy.ts";

/** One section of a document, or one element of a section that is a list. */
export interface DocumentEntry {
    /** Unique in the document. It identifies the entry and is never parsed. */
    readonly entryId: string;
    /** Name of the section; earlier releases stored entries without it. */
    readonly section?: string;
    /** JSON text. */
    readonly body: string;
    /** Sort key within the section; may be fractional, so that an element can be inserted between two others. */
    readonly place: number;
}

/** The part of a document other than its entries. */
export interface DocumentHead {
    /** Highest version accepted so far. */
    readonly documentVersion: number;
    /** Names of the sections in order, and whether each is a list. */
    readonly sections: readonly { readonly name: string; readonly list: boolean; }[];
}

export interface ConfigurationDocument extends DocumentHead {
    /** In no particular order; see `DocumentEntry.place`. */
    readonly entries: readonly DocumentEntry[];
}

/** The document in force before an operator sends the first one. */
export const emptyDocument: ConfigurationDocument = { documentVersion: 0, sections: [], entries: [] };

/** Entries of each section, in the order of the section's elements. */
export function entriesBySection(
    { sections, entries }: ConfigurationDocument,
): ReadonlyMap<string, readonly DocumentEntry[]> {
    const bySection = new Map<string, DocumentEntry[]>(sections.map(({ name }) => [name, []]));
    for (const entry of entries) {
        const section = entry.section ?? sectionOfEarlierRelease(entry.entryId, bySection);
        bySection.get(section)?.push(entry);
    }
    bySection.forEach(elements => elements.sort((left, right) => left.place - right.place));
    return bySection;
}

/** Earlier releases used the name of the section as id, followed by "/" and a name for an element of a list. */
function sectionOfEarlierRelease(entryId: string, sections: ReadonlyMap<string, unknown>): string {
    return sections.has(entryId) ? entryId : entryId.split("/", 1)[0]!;
}

/** An entry of a stored document that another release, or a fault, let in and that this process cannot decode. */
export class UndecodableEntryError extends Error {
    readonly entryId: string;

    constructor(entryId: string, reason: string) {
        super(reason);
        this.name = "UndecodableEntryError";
        this.entryId = entryId;
    }
}

/** An entry that is not part of the policy, and why. */
export interface OmittedEntry {
    /** Empty if the fault is not that of one entry. */
    readonly entryId: string;
    readonly reason: string;
}

export interface DecodedDocument {
    readonly policy: TrafficPolicy;
    /** Elements that the policy leaves out, because no line of the protocol can carry their names. */
    readonly omittedEntries: readonly OmittedEntry[];
}

/** Decodes a document into the traffic policy that the filters apply. */
export interface DocumentDecoder {
    /** @throws UndecodableEntryError, or another error if the document is malformed beyond its entries */
    decode(document: ConfigurationDocument): DecodedDocument;
}

export const DocumentKind = {
    /** An operator sent a document. */
    Put: "document.put",
    /** An operator requested the newest document. */
    Read: "document.read",
    /** A put or read timed out. */
    LimitDue: "document.limit_due",
    /** Answer to a put or a read. */
    Answered: "document.answered",
} as const;

export interface DocumentPut extends Message {
    readonly kind: typeof DocumentKind.Put;
    /** Unique in this process. */
    readonly requestId: string;
    readonly document: ConfigurationDocument;
}

export interface DocumentRead extends Message {
    readonly kind: typeof DocumentKind.Read;
    readonly requestId: string;
}

export interface DocumentLimitDue extends Message {
    readonly kind: typeof DocumentKind.LimitDue;
    readonly requestId: string;
}

export const DocumentResult = {
    /** The put document was stored by a majority, or is not newer than the stored one. */
    Accepted: "accepted",
    /** The answer carries the newest document. */
    Found: "found",
    /** Another member is the leader. */
    Redirect: "redirect",
    /** The put document is too large to be stored; nothing changed, and sending it again would not help. */
    TooLarge: "too_large",
    /** There is no document, no leader is known, or no majority answered in time. */
    Unavailable: "unavailable",
} as const;
export type DocumentResult = typeof DocumentResult[keyof typeof DocumentResult];

export interface DocumentAnswered extends Message {
    readonly kind: typeof DocumentKind.Answered;
    readonly requestId: string;
    readonly result: DocumentResult;
    /** Set if `result` is `Found`. */
    readonly document: ConfigurationDocument | undefined;
    /** `host:port` of the leader's gRPC listener; set if `result` is `Redirect`. */
    readonly leaderAddress: string | undefined;
}
