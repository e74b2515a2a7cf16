/** Semaphore and write lock for which statements wait in order of arrival. */
import { DatabaseError, ErrorNumber } from "./databaseError.ts";

/** Counting semaphore; grants permits in order of arrival. */
export class Semaphore {
    private freePermits: number;
    private readonly waiters: (() => void)[] = [];

    constructor(count: number) {
        this.freePermits = count;
    }

    async acquire(): Promise<void> {
        if (this.freePermits > 0) {
            this.freePermits -= 1;
            return;
        }
        await new Promise<void>(resolve => this.waiters.push(resolve));
    }

    release(): void {
        const next = this.waiters.shift();
        if (next === undefined) {
            this.freePermits += 1;
        }
        else {
            next();
        }
    }
}

interface LockWaiter {
    readonly owner: object;
    readonly onAcquired: () => void;
}

/** Exclusive lock that a session holds for the whole of its write transaction. */
export class WriteLock {
    private readonly timeoutMs: number;
    private owner: object | undefined;
    private waiters: LockWaiter[] = [];

    constructor(timeoutMs: number) {
        this.timeoutMs = timeoutMs;
    }

    /** @throws DatabaseError 1205 when the lock cannot be acquired within the timeout */
    async acquire(owner: object): Promise<void> {
        if (this.owner === undefined) {
            this.owner = owner;
            return;
        }
        await new Promise<void>((resolve, reject) => this.enqueue(owner, resolve, reject));
    }

    release(owner: object): void {
        if (this.owner === owner) {
            this.revoke();
        }
    }

    /** Releases the lock regardless of its owner and grants it to the next waiter. */
    revoke(): void {
        const next = this.waiters.shift();
        this.owner = next?.owner;
        next?.onAcquired();
    }

    private enqueue(owner: object, resolve: () => void, reject: (error: Error) => void): void {
        const waiter: LockWaiter = {
            owner,
            onAcquired: () => {
                clearTimeout(timer);
                resolve();
            },
        };
        const timer = setTimeout(() => {
            this.waiters = this.waiters.filter(other => other !== waiter);
            reject(
                new DatabaseError(ErrorNumber.LockTimeout, "Lock wait timeout exceeded; try restarting transaction"),
            );
        }, this.timeoutMs);
        this.waiters.push(waiter);
    }
}
