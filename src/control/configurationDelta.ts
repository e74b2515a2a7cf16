/** Deltas between two versions of the configuration. */
import type { Configuration } from "../model/configuration.ts";
import { type ConfigurationDelta, UpdateKind } from "../model/feedMessages.ts";
import { type ConfigurationObject, ObjectList } from "../model/replicatedLog.ts";
import { listEntries, withObjects, withoutObjects } from "./configurationObjects.ts";

/**
 * Computes the delta from `before` to `after`. Objects are compared by reference: commands share unchanged objects
 * between the versions of a configuration.
 */
export function diffConfigurations(before: Configuration, after: Configuration): ConfigurationDelta {
    const upserts: ConfigurationObject[] = [];
    const removals: { readonly list: ObjectList; readonly objectId: string; }[] = [];
    for (const list of Object.values(ObjectList)) {
        if (before[list] !== after[list]) {
            const changes = diffList(new Map(listEntries(before, list)), listEntries(after, list));
            upserts.push(...changes.upserts.map(value => ({ list, value }) as ConfigurationObject));
            removals.push(...changes.removals.map(objectId => ({ list, objectId })));
        }
    }
    return { kind: UpdateKind.Delta, fromVersion: before.version, toVersion: after.version, upserts, removals };
}

/**
 * Applies a delta.
 * @returns undefined if the delta does not start at the version of `configuration`; an update was lost then, and the
 * caller must request a new one
 */
export function applyDelta(configuration: Configuration, delta: ConfigurationDelta): Configuration | undefined {
    if (delta.fromVersion !== configuration.version || delta.toVersion <= delta.fromVersion) {
        return undefined;
    }
    const changed = withObjects(withoutObjects(configuration, delta.removals), delta.upserts);
    return { ...changed, version: delta.toVersion };
}

type Value = ConfigurationObject["value"];

function diffList(before: ReadonlyMap<string, Value>, after: readonly (readonly [string, Value])[]) {
    const current = new Map(after);
    const remaining = [...before.keys()].filter(objectId => current.has(objectId));
    const added = [...current.keys()].filter(objectId => !before.has(objectId));
    const sameOrder = [...remaining, ...added].every((objectId, position) => objectId === after[position]![0]);
    // An object that was removed and created again moved to the end of the list, so the delta replaces the whole list.
    return sameOrder
        ? {
            upserts: after.filter(([objectId, value]) => before.get(objectId) !== value).map(([, value]) => value),
            removals: [...before.keys()].filter(objectId => !current.has(objectId)),
        }
        : { upserts: after.map(([, value]) => value), removals: [...before.keys()] };
}
