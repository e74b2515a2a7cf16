/** Resource ids of permit homes. */

export function permitResourceId(workspace: string, dataCentre: string): string {
    return `${workspace}@${dataCentre}`;
}

/** Splits at the last "@": a workspace's name may contain one, a data centre's name may not. */
export function parsePermitResourceId(
    resourceId: string,
): { readonly workspace: string; readonly dataCentre: string; } {
    const at = resourceId.lastIndexOf("@");
    return { workspace: resourceId.slice(0, at), dataCentre: resourceId.slice(at + 1) };
}
