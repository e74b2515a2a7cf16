/** Ranks instances as holders of databases. */
import type { PeerInstance } from "../model/peerMessages.ts";
import { rendezvousHash } from "../scheduling/rendezvousHash.ts";

/**
 * Ranks the instances in the data centre of a database by rendezvous hashing. The first one that is available is the
 * holder: it keeps the connection pool of the database, and all other instances pass their tasks to it. Instances that
 * know the same list of instances compute the same ranking; while they do not, a database has several holders, which is
 * correct but uses more connections.
 */
export class HolderRanking {
    private instancesByDataCentre: ReadonlyMap<string, readonly PeerInstance[]> = new Map();
    /** Cached rankings by database id; a ranking is valid while the data centre has the same list of instances. */
    private readonly rankings = new Map<string, Ranking>();

    /** Returns the data centres whose instances changed. */
    setInstances(instances: readonly PeerInstance[]): ReadonlySet<string> {
        const lists = new Map<string, PeerInstance[]>();
        for (const instance of instances) {
            const { dataCentre } = instance;
            const list = lists.get(dataCentre);
            if (list === undefined) {
                lists.set(dataCentre, [instance]);
            }
            else {
                list.push(instance);
            }
        }
        const before = this.instancesByDataCentre;
        this.instancesByDataCentre = new Map(
            [...lists].map(([dataCentre, list]) => [dataCentre, reuseIfEqual(before.get(dataCentre), list) ?? list]),
        );
        const all = new Set([...before.keys(), ...this.instancesByDataCentre.keys()]);
        return new Set(
            [...all].filter(dataCentre => before.get(dataCentre) !== this.instancesByDataCentre.get(dataCentre)),
        );
    }

    /** Returns the instances of a data centre, highest rank first; empty when none is known. */
    rank(databaseId: string, dataCentre: string): readonly PeerInstance[] {
        const dataCentreInstances = this.instancesByDataCentre.get(dataCentre) ?? [];
        const cached = this.rankings.get(databaseId);
        if (cached !== undefined && cached.dataCentreInstances === dataCentreInstances) {
            return cached.instances;
        }
        const instances = dataCentreInstances
            .map(instance => ({ instance, weight: rendezvousHash(`${databaseId}/${instance.instanceId}`) }))
            .sort((left, right) => right.weight - left.weight)
            .map(({ instance }) => instance);
        this.rankings.set(databaseId, { dataCentreInstances, instances });
        return instances;
    }

    remove(databaseId: string): void {
        this.rankings.delete(databaseId);
    }
}

interface Ranking {
    readonly dataCentreInstances: readonly PeerInstance[];
    readonly instances: readonly PeerInstance[];
}

/** Returns the previous list if it has the same instances in any order, so that cached rankings stay valid. */
function reuseIfEqual(
    previous: readonly PeerInstance[] | undefined,
    list: readonly PeerInstance[],
): readonly PeerInstance[] | undefined {
    if (previous?.length !== list.length) {
        return undefined;
    }
    const addresses = new Map(previous.map(({ instanceId, address }) => [instanceId, address]));
    return list.every(({ instanceId, address }) => addresses.get(instanceId) === address) ? previous : undefined;
}
