/** What has to be changed in one document to make another. */
import { CommandKind, type PutDocument } from "../model/controlMessages.ts";
import type { ConfigurationDocument, DocumentEntry } from "../model/document.ts";

/** A change of order replaces all entries, because added entries always go to the end. */
export function diffDocuments(before: ConfigurationDocument, after: ConfigurationDocument): PutDocument {
    const { documentVersion, sections } = after;
    const known = new Map(before.entries.map(entry => [entry.entryId, entry.body]));
    const wanted = new Set(after.entries.map(({ entryId }) => entryId));
    const kept = before.entries.filter(({ entryId }) => wanted.has(entryId)).map(({ entryId }) => entryId);
    const added = after.entries.filter(({ entryId }) => !known.has(entryId)).map(({ entryId }) => entryId);
    const sameOrder = [...kept, ...added].every((entryId, position) => entryId === after.entries[position]!.entryId);
    const changed: readonly DocumentEntry[] = sameOrder
        ? after.entries.filter(({ entryId, body }) => known.get(entryId) !== body)
        : after.entries;
    const removals = sameOrder ? [...known.keys()].filter(entryId => !wanted.has(entryId)) : [...known.keys()];
    return {
        kind: CommandKind.PutDocument,
        head: { documentVersion, sections },
        baseVersion: before.documentVersion,
        upserts: changed,
        removals,
    };
}
