// See claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
import { fileURLToPath } from "node:url";
import { delay } from "../standins/database.mjs";
import { tenantNames, World } from "../standins/world.mjs";

const trouble = process.env.TROUBLE !== "0";
const world = new World(fileURLToPath(new URL("record.txt", import.meta.url)));
let code = 2;
try {
    await world.start();
    const [first, second] = world.deployment.fronts;
    const [, stale, other] = world.databases;
    const startedMs = Date.now();
    // Clients of the first zone write, those of the second one read, but for some writes in the beginning.
    for (const tenant of tenantNames.slice(0, 2)) {
        world.startClients(tenant, 60, { write: () => true, front: ({ name }) => name === first.name });
    }
    for (const tenant of tenantNames.slice(2)) {
        world.startClients(tenant, 60, { write: () => Date.now() < startedMs + 4_000, front: ({ name }) => name === second.name });
    }
    await delay(8_000);
    if (trouble) {
        stale.isDeaf = true;
        world.record(`${stale.id} receives nothing from now on`);
        await delay(3_000);
        world.record(`${first.name}, ${world.primary.id} and ${other.id} lose power`);
        const crashes = [world.crash(world.primary, 5_130), world.crash(other, 5_130)];
        await world.deployment.kill(first, false);
        world.readyFronts = world.readyFronts.filter(({ name }) => name !== first.name);
        await delay(3_500);
        world.deployment.start(first, false);
        stale.isDeaf = false;
        stale.catchUp();
        world.record(`${first.name} is back, and ${stale.id} receives again`);
        await Promise.all(crashes);
    }
    await delay(15_000);
    const lost = world.lostWrites();
    const summary = `${world.promotionCount ?? 0} promotions, ${lost.length} acknowledged writes lost`;
    world.record(`${summary}: ${lost.join(" ")}`);
    console.log(summary);
    code = lost.length > 0 ? 1 : 0;
}
catch (error) {
    console.error(error);
}
await world.end();
process.exit(code);
