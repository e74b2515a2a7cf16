/** Access to the objects of a configuration by list and id. */
import type { Configuration } from "../model/configuration.ts";
import { type ConfigurationObject, ObjectList } from "../model/replicatedLog.ts";

type ObjectIdOf<List extends ObjectList> = (value: Configuration[List][number]) => string;

// The parts of a compound id are separated by "/", which names cannot contain.
const objectIdOf: { readonly [List in ObjectList]: ObjectIdOf<List>; } = {
    workClasses: workClass => workClass.name,
    workspaces: workspace => workspace.name,
    keys: key => key.id,
    openRoutes: route => route.service,
    groups: group => group.groupId,
    leases: lease => `${lease.resource}/${lease.resourceId}`,
    rateShares: share => `${share.workspace}/${share.dataCentre}`,
    documentHeads: () => "head",
    documentEntries: entry => entry.entryId,
    promotions: promotion => promotion.service,
    commitWitnesses: witness => witness.instanceId,
    evacuations: evacuation => evacuation.dataCentre,
};

const lists = Object.values(ObjectList);

/** Id of an object, unique within its list. */
export function configurationObjectId(object: ConfigurationObject): string {
    return (objectIdOf[object.list] as (value: ConfigurationObject["value"]) => string)(object.value);
}

/** Objects of all lists, in the order of the lists. */
export function configurationObjects(configuration: Configuration): readonly ConfigurationObject[] {
    return lists.flatMap(list => configuration[list].map(value => ({ list, value }) as ConfigurationObject));
}

export function findObject<List extends ObjectList>(
    configuration: Configuration,
    list: List,
    objectId: string,
): Configuration[List][number] | undefined {
    const values: readonly Configuration[List][number][] = configuration[list];
    return values.find(value => objectIdOf[list](value) === objectId);
}

/** Returns a configuration with `objects` added or replaced; a replaced object keeps its position. */
export function withObjects(configuration: Configuration, objects: readonly ConfigurationObject[]): Configuration {
    let result = configuration;
    for (const list of lists) {
        const upserts = objects.filter(object => object.list === list);
        if (upserts.length > 0) {
            const values = new Map(listEntries(configuration, list));
            upserts.forEach(object => values.set(configurationObjectId(object), object.value));
            result = { ...result, [list]: [...values.values()] };
        }
    }
    return result;
}

/** Returns a configuration without the objects of `removals`; unknown ids are ignored. */
export function withoutObjects(
    configuration: Configuration,
    removals: readonly { readonly list: ObjectList; readonly objectId: string; }[],
): Configuration {
    let result = configuration;
    for (const list of lists) {
        const removed = new Set(removals.filter(removal => removal.list === list).map(removal => removal.objectId));
        if (removed.size > 0) {
            const remaining = listEntries(configuration, list).filter(([objectId]) => !removed.has(objectId));
            result = { ...result, [list]: remaining.map(([, value]) => value) };
        }
    }
    return result;
}

/** Ids and values of one list, in insertion order. */
export function listEntries(
    configuration: Configuration,
    list: ObjectList,
): readonly (readonly [string, ConfigurationObject["value"]])[] {
    const values: readonly ConfigurationObject["value"][] = configuration[list];
    return values.map(value => [configurationObjectId({ list, value } as ConfigurationObject), value] as const);
}
