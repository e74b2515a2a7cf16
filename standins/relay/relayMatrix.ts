/** Relays between data centres, with which scripts partition a data centre from the others. */
import { Relay } from "./relay.ts";

/** Holds one relay from each data centre to each instance in another data centre. */
export class RelayMatrix implements AsyncDisposable {
    private readonly relays = new Map<string, Relay>();

    static async open(
        dataCentres: readonly string[],
        instances: readonly { readonly dataCentre: string; readonly rpcPort: number; }[],
    ): Promise<RelayMatrix> {
        const matrix = new RelayMatrix();
        for (const from of dataCentres) {
            for (const { dataCentre: to, rpcPort } of instances.filter(instance => instance.dataCentre !== from)) {
                matrix.relays.set(relayKey(from, to, rpcPort), await Relay.open(rpcPort));
            }
        }
        return matrix;
    }

    /** Port at which processes in `from` reach an instance in `to`. */
    portFor(from: string, to: string, rpcPort: number): number {
        return this.relays.get(relayKey(from, to, rpcPort))?.port ?? rpcPort;
    }

    /** Bytes forwarded by all relays in both directions. */
    get bytes(): number {
        return [...this.relays.values()].reduce((sum, relay) => sum + relay.bytes, 0);
    }

    /** Interrupts all traffic into and out of a data centre. */
    disconnect(dataCentre: string): void {
        this.relaysOf(dataCentre).forEach(relay => relay.disconnect());
    }

    reconnect(dataCentre: string): void {
        this.relaysOf(dataCentre).forEach(relay => relay.reconnect());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([...this.relays.values()].map(relay => relay[Symbol.asyncDispose]()));
    }

    private relaysOf(dataCentre: string): readonly Relay[] {
        return [...this.relays]
            .filter(([key]) => key.split(">").slice(0, 2).includes(dataCentre))
            .map(([, relay]) => relay);
    }
}

function relayKey(from: string, to: string, rpcPort: number): string {
    return `${from}>${to}>${rpcPort}`;
}
