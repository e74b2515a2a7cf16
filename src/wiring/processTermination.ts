/** The end of a process, as a promise. */
import { StorageKind } from "../model/storageMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";

/** Settles when the instance has drained, and fails when its disk did. */
export class ProcessTermination implements Sink {
    readonly accepts: readonly string[];
    readonly promise: Promise<void>;
    private succeed: () => void = () => undefined;
    private fail: (reason: Error) => void = () => undefined;

    /** @param drainedKind kind of the message that says that the instance has drained */
    constructor(drainedKind: string) {
        this.accepts = [drainedKind, StorageKind.Failed];
        this.promise = new Promise((resolve, reject) => {
            this.succeed = resolve;
            this.fail = reject;
        });
    }

    deliver(message: Message): void {
        if (message.kind === StorageKind.Failed) {
            const { reason } = message as Message & { readonly reason: string; };
            this.fail(new Error(`the data folder cannot be written: ${reason}`));
        }
        else {
            this.succeed();
        }
    }
}
