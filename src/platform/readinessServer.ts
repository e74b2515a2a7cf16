/** HTTP server for the readiness checks of the platform: whether this instance accepts new callers. */
import { createServer, type Server } from "node:http";
import { FleetKind, type ReadinessChanged } from "../model/fleetMessages.ts";
import type { Sink } from "../pipeline/sink.ts";

const readinessPath = "/-/readiness";

export class ReadinessServer implements Sink<ReadinessChanged>, AsyncDisposable {
    readonly accepts = [FleetKind.ReadinessChanged];
    private readonly server: Server;
    private ready = false;

    constructor() {
        this.server = createServer((request, response) => {
            const status = request.url !== readinessPath ? 404 : this.ready ? 200 : 503;
            response.writeHead(status, { "Content-Length": 0 });
            response.end();
        });
    }

    listen({ host, port }: { readonly host: string; readonly port: number; }): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host, port }, resolve);
        });
    }

    deliver({ ready }: ReadinessChanged): void {
        this.ready = ready;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
    }
}
