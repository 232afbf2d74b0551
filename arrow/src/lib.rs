//! Conversion between result pages and Arrow record batches, for fronts and engines.

use arrow_array::cast::AsArray;
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_schema::{DataType, Field, Schema, SchemaRef};
use bytes::{BufMut, Bytes, BytesMut};
use sedgebeam_port::Page;
use std::sync::Arc;
use tonic::Status;

/// Number of columns of every result.
pub const COLUMN_COUNT: usize = 3;

/// The schema of every result: nullable text columns.
pub fn schema() -> SchemaRef {
    let column = |number: usize| Field::new(format!("column{number}"), DataType::Utf8, true);
    let columns: Vec<Field> = (1..=COLUMN_COUNT).map(column).collect();
    Arc::new(Schema::new(columns))
}

/// Converts a page to a record batch. Missing cells of a row become nulls; further tabs become part of the last column.
pub fn page_to_batch(page: &Page) -> Result<RecordBatch, Status> {
    let text = std::str::from_utf8(&page.rows)
        .map_err(|_| Status::data_loss("a page that is not UTF-8"))?;
    let mut columns: [Vec<Option<&str>>; COLUMN_COUNT] = Default::default();
    for line in text.split_terminator('\n') {
        let mut cells = line.splitn(COLUMN_COUNT, '\t');
        columns
            .iter_mut()
            .for_each(|column| column.push(cells.next()));
    }
    let arrays = columns.map(|column| Arc::new(StringArray::from(column)) as ArrayRef);
    RecordBatch::try_new(schema(), arrays.to_vec())
        .map_err(|error| Status::internal(error.to_string()))
}

/// Converts a record batch to the text of a page: columns separated by tabs, each row ended by a line feed.
pub fn batch_to_rows(batch: &RecordBatch) -> Result<Bytes, Status> {
    let text_column = |index: usize| {
        let column = batch.columns().get(index);
        let column = column.and_then(|column| column.as_string_opt::<i32>());
        column.ok_or_else(|| Status::data_loss("a result that is not of three text columns"))
    };
    // Without this check a further column would be dropped silently.
    if batch.num_columns() != COLUMN_COUNT {
        return Err(Status::data_loss("a result that is not of three columns"));
    }
    let columns = [text_column(0)?, text_column(1)?, text_column(2)?];
    let mut rows = BytesMut::new();
    for row in 0..batch.num_rows() {
        for (column_index, column) in columns.iter().enumerate() {
            let cell = column.value(row);
            if cell.contains(['\t', '\n']) {
                return Err(Status::data_loss("a cell that holds a tab or a line feed"));
            }
            rows.put_slice(cell.as_bytes());
            rows.put_u8(if column_index + 1 < COLUMN_COUNT {
                b'\t'
            } else {
                b'\n'
            });
        }
    }
    Ok(rows.freeze())
}
