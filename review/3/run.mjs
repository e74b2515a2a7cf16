// See claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
import { fileURLToPath } from "node:url";
import { delay } from "../standins/database.mjs";
import { tenantNames, World } from "../standins/world.mjs";

const trouble = process.env.TROUBLE !== "0";
const recoveryMs = 12_000;
const world = new World(fileURLToPath(new URL("record.txt", import.meta.url)));
let code = 2;
try {
    await world.start();
    let departed = false;
    for (const tenant of tenantNames) {
        world.startClients(tenant, 50, { active: () => !(departed && tenant === "tenant-4") });
    }
    await delay(14_000);
    const beforeMs = Date.now();
    const before = world.servedShare(beforeMs - 8_000, beforeMs - 1_000);
    const leader = await world.leader();
    await world.putConfiguration(2, tenantNames);
    if (trouble) {
        world.record(`the disk of ${leader.name} is lost`);
        await world.deployment.kill(leader, true);
        await delay(500);
        world.deployment.start(leader, false);
        world.record(`${leader.name} is back with an empty disk`);
    }
    const backMs = Date.now();
    await delay(3_000);
    departed = true;
    await world.putConfiguration(3, tenantNames.slice(0, 3));
    await delay(2_000);
    await world.putConfiguration(4, tenantNames);
    departed = false;
    await delay(backMs + recoveryMs + 34_000 - Date.now());
    const after = world.servedShare(backMs + recoveryMs, backMs + recoveryMs + 30_000);
    world.record(`served before: ${before.served} of ${before.sent}; more than 12 s after: ${after.served} of ${after.sent}`);
    console.log(`served before: ${before.served} of ${before.sent}; more than 12 s after: ${after.served} of ${after.sent}`);
    code = before.share >= 0.25 && after.sent > 0 ? (after.share < 0.25 ? 1 : 0) : 2;
}
catch (error) {
    console.error(error);
}
await world.end();
process.exit(code);
