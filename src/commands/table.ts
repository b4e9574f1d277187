/** Maximum cell width in characters; `--output json` prints longer values in full. */
const maxCellWidth = 60;

/**
 * Formats rows as left-aligned columns and truncates wide cells.
 *
 * @param rows - Rows with the heading first; its length sets the number of columns.
 * @returns Lines, each terminated by a line feed.
 */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const cells = rows.map(row =>
    row.map(cell =>
      cell.length > maxCellWidth
        ? `${cell.slice(0, maxCellWidth - 3)}...`
        : cell,
    ),
  );
  const widths = (cells[0] ?? []).map((_, column) =>
    Math.max(...cells.map(row => row[column]?.length ?? 0)),
  );
  return cells
    .map(row => row.map((cell, column) => cell.padEnd(widths[column])))
    .map(row => `${row.join('  ').trimEnd()}\n`)
    .join('');
}
