package io.knapweedferry.cli.text

/** Formats rows as a plain-text table with left-aligned columns. */
internal object TextTable {
    private const val COLUMN_SEPARATOR = "  "

    fun format(
        header: List<String>,
        rows: List<List<String>>,
    ): String {
        val allRows = listOf(header) + rows
        val widths = header.indices.map { column -> allRows.maxOf { it[column].length } }
        return allRows.joinToString("\n") { row ->
            row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString(COLUMN_SEPARATOR).trimEnd()
        }
    }
}
