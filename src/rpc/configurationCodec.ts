/** Encodes configuration updates as a sequence of parts, and decodes them. */
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import { type ConfigurationUpdate, UpdateKind } from "../model/feedMessages.ts";
import { type ConfigurationObject, ObjectList } from "../model/replicatedLog.ts";
import {
    type ConfigurationPart,
    ConfigurationUpdate as UpdateMessage,
    type ObjectMessage,
} from "./generated/control.ts";
import { decodeJson, encodeJson } from "./logCodec.ts";

/**
 * A link of 2 Mbit/s transfers a part in 66 ms, well below the idle timeout after which a subscriber switches members.
 */
const maximumPartBytes = 16_384;

const objectLists = Object.values(ObjectList);

/**
 * Lists that earlier releases do not know. They refuse a whole update with an unknown list, so these travel in fields that
 * they skip.
 */
const laterLists: ReadonlySet<string> = new Set([ObjectList.Evacuations]);

export function encodeUpdate(update: ConfigurationUpdate): readonly ConfigurationPart[] {
    const encoded = Buffer.from(UpdateMessage.encode(toUpdateMessage(update)).finish());
    const parts = Array.from(
        { length: Math.ceil(encoded.length / maximumPartBytes) },
        (_, index) => index * maximumPartBytes,
    );
    return parts.map(offset => ({
        content: encoded.subarray(offset, offset + maximumPartBytes),
        last: offset + maximumPartBytes >= encoded.length,
    }));
}

/** @throws Error if the parts are not an update; TypeError if the update is empty or names an unknown list */
export function decodeUpdate(parts: readonly ConfigurationPart[]): ConfigurationUpdate {
    return fromUpdateMessage(UpdateMessage.decode(Buffer.concat(parts.map(({ content }) => content))));
}

function toUpdateMessage(update: ConfigurationUpdate): UpdateMessage {
    if (update.kind === UpdateKind.Snapshot) {
        const { configuration } = update;
        const objects = objectLists.flatMap(list =>
            configuration[list].map(value => ({ list, body: encodeJson(value) }))
        );
        const [known, laterObjects] = separate(objects);
        return { snapshot: { version: configuration.version, objects: known, laterObjects } };
    }
    const { fromVersion, toVersion } = update;
    const [upserts, laterUpserts] = separate(
        update.upserts.map(({ list, value }) => ({ list, body: encodeJson(value) })),
    );
    const [removals, laterRemovals] = separate(update.removals);
    return { delta: { fromVersion, toVersion, upserts, removals, laterUpserts, laterRemovals } };
}

function fromUpdateMessage({ snapshot, delta }: UpdateMessage): ConfigurationUpdate {
    if (snapshot !== undefined) {
        const objects = [...snapshot.objects, ...snapshot.laterObjects.filter(isOfKnownList)];
        const configuration = buildConfiguration(snapshot.version, objects.map(decodeObject));
        return { kind: UpdateKind.Snapshot, configuration };
    }
    if (delta === undefined) {
        throw new TypeError("a configuration update has no content");
    }
    const { fromVersion, toVersion } = delta;
    const upserts = [...delta.upserts, ...delta.laterUpserts.filter(isOfKnownList)].map(decodeObject);
    const removals = [...delta.removals, ...delta.laterRemovals.filter(isOfKnownList)].map(({ list, objectId }) => ({
        list: requireList(list),
        objectId,
    }));
    return { kind: UpdateKind.Delta, fromVersion, toVersion, upserts, removals };
}

/** Separates what earlier releases understand from the rest. */
function separate<Item extends { readonly list: ObjectList; }>(
    items: readonly Item[],
): readonly [known: Item[], later: Item[]] {
    return [items.filter(({ list }) => !laterLists.has(list)), items.filter(({ list }) => laterLists.has(list))];
}

function isOfKnownList({ list }: { readonly list: string; }): boolean {
    return objectLists.some(known => known === list);
}

function buildConfiguration(version: number, objects: readonly ConfigurationObject[]): Configuration {
    const values = objectLists.map(
        list => [list, objects.filter(object => object.list === list).map(({ value }) => value)],
    );
    return { ...emptyConfiguration, ...Object.fromEntries(values), version };
}

function decodeObject({ list, body }: ObjectMessage): ConfigurationObject {
    return { list: requireList(list), value: decodeJson(body) } as ConfigurationObject;
}

function requireList(list: string): ObjectList {
    const known = objectLists.find(candidate => candidate === list);
    if (known === undefined) {
        throw new TypeError(`unknown list "${list}" in a configuration update; run the same release everywhere`);
    }
    return known;
}
