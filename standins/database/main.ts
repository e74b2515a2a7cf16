/** Runs one database stand-in until SIGTERM or SIGINT. */
import { formatAddress } from "./address.ts";
import { DatabaseProcess } from "./databaseProcess.ts";
import { ClusterPeerCredentials } from "./peerCredentials.ts";
import { readDatabaseSettings } from "./settings.ts";

const settings = readDatabaseSettings(process.argv.slice(2));
const database = await DatabaseProcess.open(settings, new ClusterPeerCredentials(settings));
const ready = {
    event: "ready",
    databaseId: settings.databaseId,
    address: formatAddress(database.listener.address),
    adminPort: database.admin.port,
};
console.log(JSON.stringify(ready));

let stopping = false;
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => void stop());
}

async function stop(): Promise<void> {
    if (stopping) {
        process.exit(1);
    }
    stopping = true;
    await database.announcer.announceDeparture();
    await database[Symbol.asyncDispose]();
    process.exit(0);
}
