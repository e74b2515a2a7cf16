/** Chooses the instance that holds a resource. */

export interface Candidate {
    readonly instanceId: string;
    /** Number of resources that the instance already holds. */
    readonly load: number;
}

/**
 * Rendezvous hashing among the candidates whose load is at most the average: the loss of an instance moves only its own
 * resources, and the load stays balanced. Takes time linear in the number of candidates.
 */
export function chooseHolder<Instance extends Candidate>(
    resourceKey: string,
    candidates: readonly Instance[],
): Instance | undefined {
    const averageLoad = candidates.reduce((sum, candidate) => sum + candidate.load, 0) / candidates.length;
    let best: Instance | undefined;
    let bestScore = -1;
    for (const candidate of candidates) {
        const score = candidate.load <= averageLoad ? scoreOf(`${resourceKey}|${candidate.instanceId}`) : -1;
        if (score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

/** 32-bit FNV-1a with a final mix; deterministic, so that a new leader decides as its predecessor did. */
function scoreOf(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
