export async function run(): Promise<void> {}
