/** A whole configuration sent by an operator under a version, kept as entries so that changes travel as differences. */
import type { Message } from "../pipeline/message.ts";
import type { TrafficPolicy } from "./trafficPolicy.ts";

/** One section of a document, or one element of a section that is a list. */
export interface DocumentEntry {
    /** Unique in the document; begins with the section. */
    readonly entryId: string;
    /** JSON text. */
    readonly body: string;
    /** Orders the elements of a section; not always a whole number, so that one can be added between two others. */
    readonly place: number;
}

/** What a document consists of besides its entries. */
export interface DocumentHead {
    /** Highest version accepted so far. */
    readonly documentVersion: number;
    /** Names of the sections in order, and whether each is a list. */
    readonly sections: readonly { readonly name: string; readonly list: boolean; }[];
}

export interface ConfigurationDocument extends DocumentHead {
    /** In any order; `place` tells the order. */
    readonly entries: readonly DocumentEntry[];
}

/** The document before the first one was accepted. */
export const emptyDocument: ConfigurationDocument = { documentVersion: 0, sections: [], entries: [] };

/** Turns the entries of a document into the policy that the filters use. */
export interface DocumentDecoder {
    decode(document: ConfigurationDocument): TrafficPolicy;
}

export const DocumentKind = {
    /** An operator sent a document. */
    Put: "document.put",
    /** An operator asked for the newest document. */
    Read: "document.read",
    /** The time of a request is up. */
    LimitDue: "document.limit_due",
    /** The answer to either. */
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
    /** Stored by a majority, or not newer than what is stored. */
    Accepted: "accepted",
    /** The newest document. */
    Found: "found",
    /** Another member leads. */
    Redirect: "redirect",
    /** Nobody is known to lead, or no majority answered in time. */
    Unavailable: "unavailable",
} as const;
export type DocumentResult = typeof DocumentResult[keyof typeof DocumentResult];

export interface DocumentAnswered extends Message {
    readonly kind: typeof DocumentKind.Answered;
    readonly requestId: string;
    readonly result: DocumentResult;
    /** Set when found. */
    readonly document: ConfigurationDocument | undefined;
    /** `host:port` of the leader's gRPC listener; set for a redirect. */
    readonly leaderAddress: string | undefined;
}
