/** Differences between two configurations, and their application on the receiving side. */
import type { Configuration } from "../model/configuration.ts";
import { type ConfigurationDelta, UpdateKind } from "../model/feedMessages.ts";
import { type ConfigurationObject, ObjectList } from "../model/replicatedLog.ts";
import { listEntries, withObjects, withoutObjects } from "./configurationObjects.ts";

/**
 * Changes from `before` to `after`. An unchanged object must be the same reference in both, which holds for
 * configurations that commands produced one from the other.
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
 * The configuration after a delta, or undefined when the delta does not start at the version of `configuration`; then
 * an update is missing and a snapshot must be asked for.
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
    // An object that was removed and created again has moved to the end; then the list is replaced as a whole.
    return sameOrder
        ? {
            upserts: after.filter(([objectId, value]) => before.get(objectId) !== value).map(([, value]) => value),
            removals: [...before.keys()].filter(objectId => !current.has(objectId)),
        }
        : { upserts: after.map(([, value]) => value), removals: [...before.keys()] };
}
