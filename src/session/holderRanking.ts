/** Which instance holds the links to a database. */
import type { PeerInstance } from "../model/peerMessages.ts";

/**
 * The instances of each database's own data centre in the order in which they would hold its links: the same one for
 * every instance that knows the same others. Several holders at once do no harm but use more connections.
 */
export class HolderRanking {
    private instancesByDataCentre: ReadonlyMap<string, readonly PeerInstance[]> = new Map();
    /** By database; good for as long as the instances of the data centre are the same list. */
    private readonly rankings = new Map<string, Ranking>();

    /** Returns the data centres whose instances are not the same as before. */
    setInstances(instances: readonly PeerInstance[]): ReadonlySet<string> {
        const instancesByDataCentre = new Map<string, PeerInstance[]>();
        for (const instance of instances) {
            const { dataCentre } = instance;
            const list = instancesByDataCentre.get(dataCentre);
            if (list === undefined) {
                instancesByDataCentre.set(dataCentre, [instance]);
            }
            else {
                list.push(instance);
            }
        }
        const before = this.instancesByDataCentre;
        this.instancesByDataCentre = new Map(
            [...instancesByDataCentre].map((
                [dataCentre, list],
            ) => [dataCentre, reuseIfEqual(before.get(dataCentre), list) ?? list]),
        );
        const all = new Set([...before.keys(), ...this.instancesByDataCentre.keys()]);
        return new Set(
            [...all].filter(dataCentre => before.get(dataCentre) !== this.instancesByDataCentre.get(dataCentre)),
        );
    }

    /** Best first; empty when no instance of the data centre is known. */
    rank(databaseId: string, dataCentre: string): readonly PeerInstance[] {
        const instancesByDataCentre = this.instancesByDataCentre.get(dataCentre) ?? [];
        const known = this.rankings.get(databaseId);
        if (known !== undefined && known.instancesByDataCentre === instancesByDataCentre) {
            return known.instances;
        }
        const instances = instancesByDataCentre
            .map(instance => ({ instance, weight: hash(`${databaseId}/${instance.instanceId}`) }))
            .sort((left, right) => right.weight - left.weight)
            .map(({ instance }) => instance);
        this.rankings.set(databaseId, { instancesByDataCentre, instances });
        return instances;
    }

    remove(databaseId: string): void {
        this.rankings.delete(databaseId);
    }
}

interface Ranking {
    readonly instancesByDataCentre: readonly PeerInstance[];
    readonly instances: readonly PeerInstance[];
}

/** The known list when it has the same instances in any order. */
function reuseIfEqual(
    known: readonly PeerInstance[] | undefined,
    list: readonly PeerInstance[],
): readonly PeerInstance[] | undefined {
    if (known?.length !== list.length) {
        return undefined;
    }
    const addresses = new Map(known.map(({ instanceId, address }) => [instanceId, address]));
    return list.every(({ instanceId, address }) => addresses.get(instanceId) === address) ? known : undefined;
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
