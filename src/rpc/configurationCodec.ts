/** Conversion between configuration updates and their form on the wire. */
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import { type ConfigurationUpdate, UpdateKind } from "../model/feedMessages.ts";
import { type ConfigurationObject, ObjectList } from "../model/replicatedLog.ts";
import {
    type ConfigurationPart,
    ConfigurationUpdate as UpdateMessage,
    type ObjectMessage,
} from "./generated/control.ts";
import { decodeJson, encodeJson } from "./logCodec.ts";

/** A link of 2 Mbit/s carries a part in 66 ms, well below the silence after which a subscriber leaves a member. */
const partBytes = 16_384;

const lists = Object.values(ObjectList);

export function encodeUpdate(update: ConfigurationUpdate): readonly ConfigurationPart[] {
    const encoded = Buffer.from(UpdateMessage.encode(toMessage(update)).finish());
    const parts = Array.from({ length: Math.ceil(encoded.length / partBytes) }, (_, index) => index * partBytes);
    return parts.map(offset => ({
        content: encoded.subarray(offset, offset + partBytes),
        last: offset + partBytes >= encoded.length,
    }));
}

/** @throws Error when the parts are not an update; TypeError when it is empty or names an unknown list */
export function decodeUpdate(parts: readonly ConfigurationPart[]): ConfigurationUpdate {
    return fromMessage(UpdateMessage.decode(Buffer.concat(parts.map(({ content }) => content))));
}

function toMessage(update: ConfigurationUpdate): UpdateMessage {
    if (update.kind === UpdateKind.Snapshot) {
        const { configuration } = update;
        const objects = lists.flatMap(list => configuration[list].map(value => ({ list, body: encodeJson(value) })));
        return { snapshot: { version: configuration.version, objects } };
    }
    const { fromVersion, toVersion, removals } = update;
    const upserts = update.upserts.map(({ list, value }) => ({ list, body: encodeJson(value) }));
    return { delta: { fromVersion, toVersion, upserts, removals: [...removals] } };
}

function fromMessage({ snapshot, delta }: UpdateMessage): ConfigurationUpdate {
    if (snapshot !== undefined) {
        const configuration = fromObjects(snapshot.version, snapshot.objects.map(decodeObject));
        return { kind: UpdateKind.Snapshot, configuration };
    }
    if (delta === undefined) {
        throw new TypeError("a configuration update without content");
    }
    const { fromVersion, toVersion } = delta;
    const upserts = delta.upserts.map(decodeObject);
    const removals = delta.removals.map(({ list, objectId }) => ({ list: requireList(list), objectId }));
    return { kind: UpdateKind.Delta, fromVersion, toVersion, upserts, removals };
}

function fromObjects(version: number, objects: readonly ConfigurationObject[]): Configuration {
    const values = lists.map(list => [list, objects.filter(object => object.list === list).map(({ value }) => value)]);
    return { ...emptyConfiguration, ...Object.fromEntries(values), version };
}

function decodeObject({ list, body }: ObjectMessage): ConfigurationObject {
    return { list: requireList(list), value: decodeJson(body) } as ConfigurationObject;
}

function requireList(list: string): ObjectList {
    const known = lists.find(candidate => candidate === list);
    if (known === undefined) {
        throw new TypeError(`unknown list "${list}" in a configuration update; run the same release everywhere`);
    }
    return known;
}
