/** Computes the command that changes one configuration document into another. */
import { CommandKind, type PutDocument } from "../model/controlMessages.ts";
import { type ConfigurationDocument, type DocumentEntry, entriesBySection } from "../model/document.ts";

/** Minimum gap between two places; below it, a section is renumbered. Far above the floating-point precision. */
const minimumGap = 1e-6;

/** Unchanged entries keep their places, so that inserting an element between others changes no other entry. */
export function diffDocuments(before: ConfigurationDocument, after: ConfigurationDocument): PutDocument {
    const { documentVersion, sections } = after;
    const previousEntries = new Map(before.entries.map(entry => [entry.entryId, entry]));
    const newIds = new Set(after.entries.map(({ entryId }) => entryId));
    const placed = [...entriesBySection(after).values()].flatMap(entries => placeSection(entries, previousEntries));
    return {
        kind: CommandKind.PutDocument,
        head: { documentVersion, sections },
        baseVersion: before.documentVersion,
        upserts: placed.filter(entry => !isUnchanged(entry, previousEntries.get(entry.entryId))),
        removals: [...previousEntries.keys()].filter(entryId => !newIds.has(entryId)),
    };
}

/** @param sorted entries of one section in their new order */
function placeSection(
    sorted: readonly DocumentEntry[],
    previousEntries: ReadonlyMap<string, DocumentEntry>,
): readonly DocumentEntry[] {
    const placed: DocumentEntry[] = [];
    let last = 0;
    for (const [position, entry] of sorted.entries()) {
        const kept = previousEntries.get(entry.entryId)?.place;
        const place = kept !== undefined && kept > last
            ? kept
            : (last + nextPlace(sorted, position, previousEntries, last)) / 2;
        if (place - last < minimumGap) {
            return sorted.map((other, index) => ({ ...other, place: index + 1 }));
        }
        placed.push({ ...entry, place });
        last = place;
    }
    return placed;
}

/** The place of the next entry that can keep its place; after the last one `last + 2`, so that the midpoint is whole. */
function nextPlace(
    sorted: readonly DocumentEntry[],
    position: number,
    previousEntries: ReadonlyMap<string, DocumentEntry>,
    last: number,
): number {
    const next = sorted.slice(position + 1).map(({ entryId }) => previousEntries.get(entryId)?.place)
        .find(place => place !== undefined && place > last);
    return next ?? last + 2;
}

function isUnchanged(entry: DocumentEntry, previous: DocumentEntry | undefined): boolean {
    return previous !== undefined && previous.section === entry.section && previous.body === entry.body
        && previous.place === entry.place;
}
