/** Which instance holds the links to a database. */
import { type PeerInstance, sameInstance } from "../model/peerMessages.ts";

interface DataCentre {
    readonly instances: readonly PeerInstance[];
    /** The instances in order of preference, by database; computed at its first question. */
    readonly rankings: Map<string, readonly PeerInstance[]>;
}

/**
 * Prefers one instance of the database's own data centre, the same one for every instance that knows the same others.
 * Several holders at once do no harm but use more connections.
 */
export class HolderChoice {
    private dataCentres: ReadonlyMap<string, DataCentre> = new Map();

    /** A data centre whose instances stay the same keeps its rankings, as a question comes with every task. */
    setInstances(instances: readonly PeerInstance[]): void {
        const groups = new Map<string, PeerInstance[]>();
        for (const instance of instances) {
            const group = groups.get(instance.dataCentre) ?? [];
            group.push(instance);
            groups.set(instance.dataCentre, group);
        }
        this.dataCentres = new Map([...groups].map(([name, group]) => [name, this.keepOrReplace(name, group)]));
    }

    /** The instances of the data centre in order of preference. */
    rank(databaseId: string, dataCentre: string): readonly PeerInstance[] {
        const found = this.dataCentres.get(dataCentre);
        if (found === undefined) {
            return [];
        }
        const ranking = found.rankings.get(databaseId) ?? rankByHash(found.instances, databaseId);
        found.rankings.set(databaseId, ranking);
        return ranking;
    }

    private keepOrReplace(name: string, group: readonly PeerInstance[]): DataCentre {
        const instances = [...group].sort((left, right) => left.instanceId < right.instanceId ? -1 : 1);
        const known = this.dataCentres.get(name);
        const same = known?.instances.length === instances.length
            && instances.every((instance, index) => sameInstance(instance, known.instances[index]));
        return same ? known : { instances, rankings: new Map() };
    }
}

function rankByHash(instances: readonly PeerInstance[], databaseId: string): readonly PeerInstance[] {
    return instances.map(instance => ({ instance, weight: hash(`${databaseId}/${instance.instanceId}`) }))
        .sort((left, right) => right.weight - left.weight)
        .map(({ instance }) => instance);
}

/** FNV-1a over UTF-16 units, with a final mix so that names which differ in the last letter spread well. */
function hash(text: string): number {
    let value = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
    }
    value = Math.imul(value ^ (value >>> 16), 0x7feb352d);
    return (value ^ (value >>> 15)) >>> 0;
}
